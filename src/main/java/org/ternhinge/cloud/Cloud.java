package org.ternhinge.cloud;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/** The cloud as the rest of the program sees it. */
public interface Cloud {

  /** The machine types and their present prices. */
  CompletableFuture<Outcome<List<MachineType>>> machineTypes();

  /** Provisions machines. A request that got no answer may be sent again: its name makes it one. */
  CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request);

  /** Gives machines back; once applied, they and all that ran on them are gone. */
  CompletableFuture<Outcome<Integer>> release(List<MachineId> machines);

  /**
   * A page of the machines that are provisioned, in the order of their names.
   *
   * @param after the machine that the page begins after, or null for the first page
   */
  CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority);
}
