package org.ternhinge.cloud;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/**
 * Client of the cloud's machine API.
 *
 * <p>Methods may be called from any thread and return at once; futures complete on a thread of the
 * implementation, never exceptionally. {@link Outcome.Reason#RATE_LIMITED} means that the rate
 * limit is exhausted, and {@link Outcome.Reason#REFUSED} an outage of the cloud; in both cases
 * nothing was applied. {@link Outcome.Unknown} means that there was no usable response: the request
 * may have been applied, or may still be, even minutes later.
 */
public interface Cloud {

  /** Reads the machine types and their current prices. */
  CompletableFuture<Outcome<List<MachineType>>> machineTypes();

  /**
   * Provisions machines. The result contains the IDs of the provisioned machines, which may be
   * fewer than requested. {@link Outcome.Reason#CONFLICT} means that there is no capacity. A
   * request without a response may be repeated: its name makes it idempotent.
   */
  CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request);

  /**
   * Releases machines; once applied, the machines and everything on them are gone. The result is
   * the number of machines. Unknown IDs are ignored.
   */
  CompletableFuture<Outcome<Integer>> release(List<MachineId> machines);

  /**
   * Reads a page of the provisioned machines, in the order of their IDs. The list is eventually
   * consistent.
   *
   * @param after the last machine of the previous page, or null for the first page
   * @param limit maximum number of machines of the page
   */
  CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority);
}
