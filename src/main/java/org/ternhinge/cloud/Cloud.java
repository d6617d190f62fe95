package org.ternhinge.cloud;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.HostInfo;
import org.ternhinge.wire.RentalRequest;

/** The cloud as the rest of the program sees it. */
public interface Cloud {

  CompletableFuture<Outcome<List<Flavor>>> flavors();

  CompletableFuture<Outcome<List<MachineId>>> rent(RentalRequest request);

  CompletableFuture<Outcome<Integer>> release(List<MachineId> machines);

  CompletableFuture<Outcome<HostInfo.Page>> list(MachineId after, int limit);
}
