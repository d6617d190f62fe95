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

/** The cloud API as seen by one controller. */
final class SimCloud implements Cloud {
  private static final double TIMEOUT_S = 5;

  /** Duration of a listing call, in seconds. */
  private static final double LIST_S = 1;

  /** Delivers responses only to a process that is still alive. */
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
            NetworkFaults.REGION,
            () -> false,
            TIMEOUT_S,
            to -> to.accept(Outcome.applied(SimMachineTypes.in(cluster.settings.zones())))));
  }

  @Override
  public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
    cluster.counts.countProvisionCall();
    return owner.guard(
        cluster.networkFaults.<List<MachineId>>call(
            NetworkFaults.zoneOf(node),
            NetworkFaults.REGION,
            () -> false,
            TIMEOUT_S,
            to -> to.accept(Outcome.applied(cluster.machines.provisioned().provision(request)))));
  }

  @Override
  public CompletableFuture<Outcome<Integer>> release(List<MachineId> ids) {
    cluster.counts.countReleaseCall();
    return owner.guard(
        cluster.networkFaults.<Integer>call(
            NetworkFaults.zoneOf(node),
            NetworkFaults.REGION,
            () -> false,
            TIMEOUT_S,
            to -> {
              ids.forEach(cluster.machines::release);
              to.accept(Outcome.applied(ids.size()));
            }));
  }

  @Override
  public CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority) {
    cluster.counts.countMachineListing();
    if (cluster.networkFaults.areDisconnected(NetworkFaults.zoneOf(node), NetworkFaults.REGION)) {
      return owner.guard(cluster.networkFaults.lostCall(TIMEOUT_S));
    }
    List<ListedMachine> provisioned = cluster.machines.provisioned().list();
    List<ListedMachine> page =
        provisioned.stream()
            .filter(listed -> after == null || listed.machine().compareTo(after) > 0)
            .limit(limit)
            .toList();
    boolean more =
        !page.isEmpty()
            && !page.get(page.size() - 1).equals(provisioned.get(provisioned.size() - 1));
    ListedMachine.Page answer = new ListedMachine.Page(page, more);
    CompletableFuture<Outcome<ListedMachine.Page>> out = new CompletableFuture<>();
    cluster.clock.schedule(LIST_S, () -> out.complete(Outcome.applied(answer)));
    return owner.guard(out);
  }
}
