package org.ternhinge.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.ternhinge.http.Request;
import org.ternhinge.http.Response;
import org.ternhinge.model.Clock;
import org.ternhinge.model.SteadyTime;
import org.ternhinge.wire.DependencyVerdict;

/**
 * Offers a submission that this node can't write itself to other controllers, one after the other,
 * until one takes it. Each node has a small fixed part of the key-value store's limits, so while
 * nobody leads one node may be out of tokens when its neighbours have some; and a node that the
 * key-value store alone refuses or can't be reached from has neighbours that are served.
 *
 * <p>A node whose answer was lost may have written the job; that is safe, since the write of the
 * next one is conditional on the job's absence and then finds it. All methods run under the node's
 * lock.
 */
public final class SubmissionRelay {
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
  private static final int MAX_ASKED = 4;

  /** From then on no further node is asked: the user expects an answer within a second. */
  private static final double GIVE_UP_S = 0.7;

  private final PeerClient peers;
  private final List<String> others;
  private final Clock clock;
  private final Map<String, SteadyTime> silentUntil = new HashMap<>();
  private int firstOfNext;

  /**
   * Creates a relay.
   *
   * @param others names of all other controllers
   */
  public SubmissionRelay(PeerClient peers, List<String> others, Clock clock) {
    this.peers = peers;
    this.others = others;
    this.clock = clock;
  }

  /** Whether a node has just left a submission without an answer. */
  boolean isSilent(String node) {
    SteadyTime until = silentUntil.get(node);
    return until != null && clock.now().isBefore(until);
  }

  /** Whether another node offers a dependent job by this path. */
  public static boolean isDependentPath(String path) {
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

  /** Asks the leader only, by the user's own request; 503 where it gives no answer. */
  void askLeader(String leader, Request request, Consumer<Response> answer) {
    ask(new Offer(leader, request), answer);
  }

  /**
   * Asks nodes in turn until one gives a final answer; 503 if none does.
   *
   * @param leader the node to begin with, which gets the user's own request
   * @param dependent whether the job depends on others
   * @param verdict what is known of those
   */
  void offer(
      Optional<String> leader,
      Request request,
      boolean dependent,
      Optional<DependencyVerdict> verdict,
      Consumer<Response> answer) {
    Request toFollowers = dependent ? dependentRequest(request, verdict) : request;
    Deque<Offer> offers = new ArrayDeque<>();
    leader.filter(node -> !isSilent(node)).ifPresent(node -> offers.add(new Offer(node, request)));
    addFollowers(offers, leader, toFollowers);
    offerNext(offers, clock.now().plusSeconds(GIVE_UP_S), answer);
  }

  /** As {@link #offer} for a dependent job that the leader has just been asked to take. */
  void offerToFollowers(
      String leader,
      Request request,
      Optional<DependencyVerdict> verdict,
      Consumer<Response> answer) {
    Deque<Offer> offers = new ArrayDeque<>();
    addFollowers(offers, Optional.of(leader), dependentRequest(request, verdict));
    offerNext(offers, clock.now().plusSeconds(GIVE_UP_S), answer);
  }

  private static Request dependentRequest(Request request, Optional<DependencyVerdict> verdict) {
    String path =
        verdict
            .map(known -> known.cancelled() ? CANCELLED_PATH : NONE_CANCELLED_PATH)
            .orElse(DEPENDENT_PATH);
    return new Request(request.method(), path, request.body());
  }

  /** Adds nodes other than the leader; each submission begins with the next of them. */
  private void addFollowers(Deque<Offer> offers, Optional<String> leader, Request request) {
    int first = firstOfNext++;
    for (int i = 0; i < others.size() && offers.size() < MAX_ASKED; i++) {
      String node = others.get(Math.floorMod(first + i, others.size()));
      if (!isSilent(node) && !leader.equals(Optional.of(node))) {
        offers.add(new Offer(node, request));
      }
    }
  }

  private record Offer(String node, Request request) {}

  private void offerNext(Deque<Offer> offers, SteadyTime giveUp, Consumer<Response> answer) {
    Offer offer = offers.poll();
    if (offer == null || !clock.now().isBefore(giveUp)) {
      answer.accept(Responses.busy());
      return;
    }
    ask(
        offer,
        response -> {
          if (isTaken(response)) {
            answer.accept(response);
          } else {
            offerNext(offers, giveUp, answer);
          }
        });
  }

  /** An older version does not know the path of dependent jobs and answers 404. */
  private static boolean isTaken(Response response) {
    return !Responses.isBusy(response) && response.status() != Responses.NOT_FOUND;
  }

  private void ask(Offer offer, Consumer<Response> answer) {
    peers.ask(
        offer.node(),
        offer.request(),
        ASK_S,
        response -> {
          if (response.isEmpty()) {
            silentUntil.put(offer.node(), clock.now().plusSeconds(SILENT_S));
          }
          answer.accept(response.orElse(Responses.busy()));
        });
  }
}
