package org.ternhinge.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Relays on the links of the controllers to the key-value store, the cloud, the workers and each
 * other. Users connect directly.
 */
final class LoopbackLinks implements AutoCloseable {
  private final List<LinkRelay> store = new ArrayList<>();
  private final List<LinkRelay> cloud = new ArrayList<>();
  private final List<LinkRelay> workers = new ArrayList<>();

  /** The links between controllers, by the one that opens the connection and the other. */
  private final List<List<LinkRelay>> peers = new ArrayList<>();

  LoopbackLinks(int controllers) {
    for (int i = 0; i < controllers; i++) {
      store.add(new LinkRelay());
      cloud.add(new LinkRelay());
      workers.add(new LinkRelay());
      List<LinkRelay> outgoing = new ArrayList<>();
      for (int k = 0; k < controllers; k++) {
        outgoing.add(new LinkRelay());
      }
      peers.add(outgoing);
    }
  }

  int storePort(int controller, int port) throws IOException {
    return store.get(controller).forwardTo(port);
  }

  int cloudPort(int controller, int port) throws IOException {
    return cloud.get(controller).forwardTo(port);
  }

  int peerPort(int from, int to, int port) throws IOException {
    return peers.get(from).get(to).forwardTo(port);
  }

  /** The ports by which workers reach the controllers. */
  List<Integer> workerPorts(List<Integer> controllerPorts) throws IOException {
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < controllerPorts.size(); i++) {
      ports.add(workers.get(i).forwardTo(controllerPorts.get(i)));
    }
    return ports;
  }

  LinkRelay toStore(int controller) {
    return store.get(controller);
  }

  LinkRelay toCloud(int controller) {
    return cloud.get(controller);
  }

  /** The link by which workers reach a controller. */
  LinkRelay fromWorkers(int controller) {
    return workers.get(controller);
  }

  /** All links between a controller and the others, whoever opens the connection. */
  List<LinkRelay> withPeers(int controller) {
    List<LinkRelay> links = new ArrayList<>(peers.get(controller));
    peers.forEach(outgoing -> links.add(outgoing.get(controller)));
    return links;
  }

  /** Ends all faults of all links. */
  void heal() {
    all()
        .forEach(
            relay -> {
              relay.heal();
              relay.delay(0);
            });
  }

  private List<LinkRelay> all() {
    List<LinkRelay> links = new ArrayList<>(store);
    links.addAll(cloud);
    links.addAll(workers);
    peers.forEach(links::addAll);
    return links;
  }

  @Override
  public void close() {
    all().forEach(LinkRelay::close);
  }
}
