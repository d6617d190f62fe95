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
 * The cloud that provides machines.
 *
 * <p>Methods may be called from any thread and return at once; futures complete on a thread of the
 * implementation, never exceptionally. {@link Outcome.Reason#RATE_LIMITED} means that the rate of
 * calls is exhausted and {@link Outcome.Reason#REFUSED} an outage of the cloud; neither carried out
 * anything. {@link Outcome.Unknown} means that no usable answer came: the request may have been
 * carried out, or may still be, even minutes later.
 */
public interface Cloud {

  /** The machine types and their present prices. */
  CompletableFuture<Outcome<List<MachineType>>> machineTypes();

  /**
   * Provisions machines. The result has the names of the provisioned ones, which may be fewer than
   * requested. {@link Outcome.Reason#CONFLICT} means that there is no capacity. A request without
   * an answer may be repeated: its name makes it idempotent.
   */
  CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request);

  /**
   * Releases machines; once applied, they and everything on them are gone. The result is their
   * number. Unknown names are ignored.
   */
  CompletableFuture<Outcome<Integer>> release(List<MachineId> machines);

  /**
   * Reads a page of the provisioned machines, in the order of their names. The list lags behind.
   *
   * @param after the machine that the page begins after, or null for the first page
   * @param limit most machines of the page
   */
  CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority);
}
