package org.ternhinge.scaling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/**
 * A cloud that answers requests as scripted and records them. The listing script has one word per
 * page; without a script the listing has two pages. Other requests beyond the script of their kind
 * remain unanswered.
 */
final class ScriptedCloud implements Cloud {
  static final MachineId FIRST = new MachineId("n-000001");
  static final MachineId LAST = new MachineId("n-000999");

  final Deque<String> listScript = new ArrayDeque<>();
  final Deque<Outcome<List<MachineId>>> provisionAnswers = new ArrayDeque<>();
  final Deque<Outcome<Integer>> releaseAnswers = new ArrayDeque<>();
  final List<RequestPriority> listPriorities = new ArrayList<>();
  final List<ProvisionRequest> provisionRequests = new ArrayList<>();
  final List<List<MachineId>> releaseRequests = new ArrayList<>();

  /** State of the listed machines. */
  ListedMachine.State listedState = ListedMachine.State.RUNNING;

  @Override
  public CompletableFuture<Outcome<ListedMachine.Page>> list(
      MachineId after, int limit, RequestPriority priority) {
    listPriorities.add(priority);
    String next = listScript.isEmpty() ? "page" : listScript.poll();
    return CompletableFuture.completedFuture(outcome(next, () -> page(after)));
  }

  /** Returns the outcome for a word of a script. */
  static <T> Outcome<T> outcome(String word, Supplier<T> value) {
    return switch (word) {
      case "limit" -> Outcome.notApplied(Reason.RATE_LIMITED, "rate limit exceeded");
      case "refused" -> Outcome.notApplied(Reason.REFUSED, "insufficient capacity");
      case "invalid" -> Outcome.notApplied(Reason.INVALID, "no such type");
      case "conflict" -> Outcome.notApplied(Reason.CONFLICT, "name used with different content");
      case "lost" -> Outcome.unknown("no answer");
      default -> Outcome.applied(value.get());
    };
  }

  private ListedMachine.Page page(MachineId after) {
    MachineId id = after == null ? FIRST : LAST;
    ListedMachine host =
        new ListedMachine(id, Optional.of("10.0.1.1:9000"), "small", "east", false, listedState, 5);
    return new ListedMachine.Page(List.of(host), after == null);
  }

  @Override
  public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
    provisionRequests.add(request);
    return provisionAnswers.isEmpty()
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(provisionAnswers.remove());
  }

  @Override
  public CompletableFuture<Outcome<Integer>> release(List<MachineId> machines) {
    releaseRequests.add(machines);
    return releaseAnswers.isEmpty()
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(releaseAnswers.remove());
  }
}
