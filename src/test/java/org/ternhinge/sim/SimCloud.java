package org.ternhinge.sim;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/** The cloud as one controller reaches it. */
final class SimCloud implements Cloud {
  /** Lets answers through to a process that is still alive. */
  interface Guard {
    <T> CompletableFuture<T> guard(CompletableFuture<T> from);
  }

  private final SimCluster cluster;
  private final int node;
  private final Guard owner;

  SimCloud(SimCluster cluster, int node, Guard owner) {
    this.cluster = cluster;
    this.node = node;
    this.owner = owner;
  }

  @Override
  public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
    return owner.guard(
        cluster.networkFaults.<List<MachineType>>call(
            NetworkFaults.zoneOf(node),
            null,
            () -> false,
            5,
            to -> to.accept(Outcome.applied(SimMachineTypes.in(cluster.settings.zones())))));
  }

  @Override
  public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
    cluster.counts.provisionCall();
    return owner.guard(
        cluster.networkFaults.<List<MachineId>>call(
            NetworkFaults.zoneOf(node),
            null,
            () -> false,
            5,
            to -> to.accept(Outcome.applied(cluster.stock.provisionNow(request)))));
  }

  @Override
  public CompletableFuture<Outcome<Integer>> release(List<MachineId> ids) {
    cluster.counts.releaseCall();
    return owner.guard(
        cluster.networkFaults.<Integer>call(
            NetworkFaults.zoneOf(node),
            null,
            () -> false,
            5,
            to -> {
              ids.forEach(
                  id -> {
                    cluster.stock.release(id);
                    SimWorker worker = cluster.workers.remove(id);
                    if (worker != null) {
                      worker.die();
                    }
                  });
              to.accept(Outcome.applied(ids.size()));
            }));
  }

  @Override
  public CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority) {
    cluster.counts.machineListing();
    if (cluster.networkFaults.apart(NetworkFaults.zoneOf(node), null)) {
      return owner.guard(cluster.networkFaults.lostCall(5));
    }
    List<ListedMachine> provisioned = cluster.stock.list();
    List<ListedMachine> hosts =
        provisioned.stream()
            .filter(host -> after == null || host.machine().compareTo(after) > 0)
            .limit(limit)
            .toList();
    boolean more =
        !hosts.isEmpty()
            && !hosts.get(hosts.size() - 1).equals(provisioned.get(provisioned.size() - 1));
    ListedMachine.Page page = new ListedMachine.Page(hosts, more);
    CompletableFuture<Outcome<ListedMachine.Page>> out = new CompletableFuture<>();
    // The list lags.
    cluster.clock.after(1, () -> out.complete(Outcome.applied(page)));
    return owner.guard(out);
  }
}
