package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.wire.Flavor;
import org.ternhinge.wire.HostInfo;
import org.ternhinge.wire.RentalRequest;

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
  public CompletableFuture<Outcome<List<Flavor>>> flavors() {
    return owner.guard(
        cluster.networkFaults.<List<Flavor>>call(
            NetworkFaults.zoneOf(node),
            null,
            () -> false,
            5,
            to -> to.accept(Outcome.applied(SimCluster.FLAVORS))));
  }

  @Override
  public CompletableFuture<Outcome<List<MachineId>>> rent(RentalRequest request) {
    cluster.counts.rentalCall();
    return owner.guard(
        cluster.networkFaults.<List<MachineId>>call(
            NetworkFaults.zoneOf(node),
            null,
            () -> false,
            5,
            to -> to.accept(Outcome.applied(cluster.stock.rentNow(request)))));
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
                    SimWorker worker = cluster.workers.remove(id);
                    if (worker != null) {
                      worker.die();
                    }
                  });
              to.accept(Outcome.applied(ids.size()));
            }));
  }

  @Override
  public CompletableFuture<Outcome<HostInfo.Page>> list(
      MachineId after, int limit, RequestPriority priority) {
    cluster.counts.machineListing();
    if (cluster.networkFaults.apart(NetworkFaults.zoneOf(node), null)) {
      return owner.guard(cluster.networkFaults.lostCall(5));
    }
    List<HostInfo> hosts = new ArrayList<>();
    boolean more = false;
    for (SimWorker w :
        (after == null ? cluster.workers : cluster.workers.tailMap(after, false)).values()) {
      if (hosts.size() == limit) {
        more = true;
        break;
      }
      hosts.add(
          new HostInfo(
              w.id(), w.endpoint(), w.flavor.name(), w.zone, w.spot, HostInfo.State.RUNNING, 30));
    }
    HostInfo.Page page = new HostInfo.Page(hosts, more);
    CompletableFuture<Outcome<HostInfo.Page>> out = new CompletableFuture<>();
    // The list lags.
    cluster.clock.after(1, () -> out.complete(Outcome.applied(page)));
    return owner.guard(out);
  }

  /** What the cloud has rented out, to whomever. */
  static final class Stock {
    private final SimCluster cluster;
    private final Map<String, List<MachineId>> rentals = new HashMap<>();
    private final Map<String, Integer> booting = new HashMap<>();
    private int machinesMade;

    Stock(SimCluster cluster) {
      this.cluster = cluster;
    }

    int machinesMade() {
      return machinesMade;
    }

    private static String offer(String type, String zone, boolean spot) {
      return type + zone + spot;
    }

    private int rentedNow(String offer) {
      int count = booting.getOrDefault(offer, 0);
      for (SimWorker w : cluster.workers.values()) {
        count += offer(w.flavor.name(), w.zone, w.spot).equals(offer) ? 1 : 0;
      }
      return count;
    }

    List<MachineId> rentNow(RentalRequest request) {
      return rentals.computeIfAbsent(
          request.name(),
          k -> {
            List<MachineId> out = new ArrayList<>();
            String offer = offer(request.type(), request.zone(), request.spot());
            int left = cluster.machinesOfEach() - rentedNow(offer);
            for (int i = 0; i < Math.min(request.count(), left); i++) {
              MachineId id = new MachineId(String.format("n-%06d", machinesMade++));
              out.add(id);
              Flavor flavor = SimCluster.FLAVORS.get(request.type().equals("small") ? 0 : 1);
              cluster.clock.after(
                  flavor.bootS() * (0.6 + cluster.random.nextDouble()),
                  () -> {
                    booting.merge(offer, -1, Integer::sum);
                    cluster.workers.put(
                        id, new SimWorker(cluster, id, flavor, request.zone(), request.spot()));
                  });
            }
            booting.merge(offer, out.size(), Integer::sum);
            return out;
          });
    }
  }
}
