package org.ternhinge.scaling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ternhinge.machine.BootTimes;
import org.ternhinge.machine.MachineTypeCatalog;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.schedule.Snapshot;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/**
 * The planner's view of scale-out: the available offers and the unanswered provision requests.
 * Guarded by the controller's lock.
 */
public final class ScaleOutOptions {
  private final List<String> zones;
  private final MachineTypeCatalog machineTypes;
  private final BootTimes bootTimes;
  private final MachineProvisioner provisioner;

  /**
   * Creates a view.
   *
   * @param zones names of the site's zones, by index
   */
  public ScaleOutOptions(
      List<String> zones,
      MachineTypeCatalog machineTypes,
      BootTimes bootTimes,
      MachineProvisioner provisioner) {
    this.zones = zones;
    this.machineTypes = machineTypes;
    this.bootTimes = bootTimes;
    this.provisioner = provisioner;
  }

  /**
   * Returns the offers that can be provisioned now, without those that are paused for lack of
   * capacity.
   */
  public List<Snapshot.Offer> offers(MonotonicTime now) {
    List<Snapshot.Offer> offers = new ArrayList<>();
    for (MachineType type : machineTypes.all()) {
      for (String zone : type.zones()) {
        if (zones.contains(zone)) {
          addOffer(type, zone, true, now, offers);
          addOffer(type, zone, false, now, offers);
        }
      }
    }
    return offers;
  }

  private void addOffer(
      MachineType type, String zone, boolean spot, MonotonicTime now, List<Snapshot.Offer> offers) {
    if (!provisioner.isPaused(new OfferKey(type.name(), zone, spot), now)) {
      int zoneIndex = zones.indexOf(zone);
      double bootS = bootTimes.expectedBootS(type, zone);
      offers.add(
          new Snapshot.Offer(type, zoneIndex, zone, spot, ProvisionRequest.MAX_COUNT, bootS));
    }
  }

  /** Returns the machines that were requested and have no names yet. */
  public List<Snapshot.PendingProvision> pendingProvisions() {
    List<Snapshot.PendingProvision> pending = new ArrayList<>();
    for (ProvisionRequest request : provisioner.unansweredRequests()) {
      Optional<MachineType> type = machineTypes.find(request.type());
      int zone = zones.indexOf(request.zone());
      if (type.isPresent() && zone >= 0) {
        pending.add(pendingProvision(request, type.get(), zone));
      }
    }
    return pending;
  }

  private static Snapshot.PendingProvision pendingProvision(
      ProvisionRequest request, MachineType type, int zone) {
    int count = request.count();
    Snapshot.Offer offer = new Snapshot.Offer(type, zone, request.zone(), request.spot(), count);
    return new Snapshot.PendingProvision(offer, count);
  }
}
