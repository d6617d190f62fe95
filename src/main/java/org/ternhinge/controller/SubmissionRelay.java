package org.ternhinge.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.DependencyVerdict;

/**
 * Offers a submission that this node can't write itself to other controllers, one after the other,
 * until one takes it. Each node has a small fixed part of the state service's limits, so while
 * nobody leads one node may be out of tokens when its neighbours have some; and a node that the
 * state service alone refuses or can't be reached from has neighbours that are served.
 *
 * <p>A node whose answer was lost may have written the job; that is safe, since the write of the
 * next one is conditional on the job's absence and then finds it. All methods run under the node's
 * lock.
 */
final class SubmissionRelay {
  /**
   * Where nodes take dependent jobs from each other. A version that would drop the dependencies
   * does not know the path and answers 404, so it never accepts such a job by this way.
   */
  private static final String DEPENDENT_PATH = "/peer/submissions";

  /** Where the asking node has looked at the dependencies; what it found is in the path. */
  private static final String NONE_CANCELLED_PATH = DEPENDENT_PATH + "/after-live";

  private static final String CANCELLED_PATH = DEPENDENT_PATH + "/after-cancelled";

  /** Two such waits and an own write still end within a second of the user's request. */
  private static final double ASK_S = 0.4;

  /** A node that gave no answer is not asked again for so long: each wait is the user's. */
  private static final double SILENT_S = 2;

  /** Nodes asked for one submission; more would only spread the load of a general shortage. */
  private static final int MOST_ASKED = 4;

  /** From then on no further node is asked: the user expects an answer within a second. */
  private static final double GIVE_UP_S = 0.7;

  private static final int RETRY_AFTER_S = 1;

  private final ControllerNode.Peers peers;
  private final List<String> others;
  private final Clock clock;
  private final Lock lock;
  private final Runnable peerAnswered;
  private final Map<String, SteadyTime> silentUntil = new HashMap<>();
  private int next;

  /**
   * Creates a relay.
   *
   * @param others names of all other controllers
   * @param peerAnswered hears of every answer of another controller
   */
  SubmissionRelay(
      ControllerNode.Peers peers,
      List<String> others,
      Clock clock,
      Lock lock,
      Runnable peerAnswered) {
    this.peers = peers;
    this.others = others;
    this.clock = clock;
    this.lock = lock;
    this.peerAnswered = peerAnswered;
  }

  /** Whether a node has just left a submission without an answer. */
  boolean isSilent(String node) {
    SteadyTime until = silentUntil.get(node);
    return until != null && clock.now().isBefore(until);
  }

  /** Whether another node offers a dependent job by this path. */
  static boolean isDependentPath(String path) {
    return path.equals(DEPENDENT_PATH) || verdictIn(path).isPresent();
  }

  /** What the asking node found when it looked at the dependencies, by the path of its request. */
  static Optional<DependencyVerdict> verdictIn(String path) {
    return switch (path) {
      case NONE_CANCELLED_PATH -> Optional.of(new DependencyVerdict(false));
      case CANCELLED_PATH -> Optional.of(new DependencyVerdict(true));
      default -> Optional.empty();
    };
  }

  private static Request forPeer(
      Request request, boolean dependent, Optional<DependencyVerdict> verdict) {
    if (!dependent) {
      return request;
    }
    String path =
        verdict
            .map(known -> known.cancelled() ? CANCELLED_PATH : NONE_CANCELLED_PATH)
            .orElse(DEPENDENT_PATH);
    return new Request(request.method(), path, request.body());
  }

  /** Asks the leader only, by the user's own request; 503 where it gives no answer. */
  void askLeader(String leader, Request request, Consumer<Response> answer) {
    ask(leader, request, answer);
  }

  /**
   * Asks nodes in turn until one gives a final answer; 503 if none does.
   *
   * @param first the leader, to begin with and by the user's own request, or null
   * @param except a node not to be asked, or null
   * @param dependent whether the job depends on others
   * @param verdict what is known of those
   */
  void offer(
      String first,
      String except,
      Request request,
      boolean dependent,
      Optional<DependencyVerdict> verdict,
      Consumer<Response> answer) {
    Request offered = forPeer(request, dependent, verdict);
    Deque<Offer> offers = new ArrayDeque<>();
    for (String node : candidates(first, except)) {
      offers.add(new Offer(node, node.equals(first) ? request : offered));
    }
    offerNext(offers, clock.now().plusSeconds(GIVE_UP_S), answer);
  }

  private List<String> candidates(String first, String except) {
    List<String> order = new ArrayList<>();
    if (first != null) {
      order.add(first);
    }
    for (int i = 0; i < others.size(); i++) {
      order.add(others.get((next + i) % others.size()));
    }
    next++;
    List<String> out = new ArrayList<>();
    for (String node : order) {
      if (out.size() < MOST_ASKED
          && !node.equals(except)
          && !isSilent(node)
          && !out.contains(node)) {
        out.add(node);
      }
    }
    return out;
  }

  private record Offer(String node, Request request) {}

  private void offerNext(Deque<Offer> offers, SteadyTime giveUp, Consumer<Response> answer) {
    Offer offer = offers.poll();
    if (offer == null || !clock.now().isBefore(giveUp)) {
      answer.accept(Response.busy(RETRY_AFTER_S));
      return;
    }
    ask(
        offer.node(),
        offer.request(),
        response -> {
          // 404: an older version, which does not know the path.
          if (response.status() == 503 || response.status() == 404) {
            offerNext(offers, giveUp, answer);
          } else {
            answer.accept(response);
          }
        });
  }

  private void ask(String node, Request request, Consumer<Response> answer) {
    peers.ask(node, request, ASK_S, response -> answered(node, response, answer));
  }

  private void answered(String node, Response response, Consumer<Response> answer) {
    lock.lock();
    try {
      if (response == null) {
        silentUntil.put(node, clock.now().plusSeconds(SILENT_S));
        peers.reset(node);
        answer.accept(Response.busy(RETRY_AFTER_S));
      } else {
        peerAnswered.run();
        answer.accept(response);
      }
    } finally {
      lock.unlock();
    }
  }
}
