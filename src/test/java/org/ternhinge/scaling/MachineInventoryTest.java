package org.ternhinge.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.attempt.AgentStatusSink;
import org.ternhinge.attempt.TermAnnouncer;
import org.ternhinge.cloud.Cloud;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.term.ControllerServices;
import org.ternhinge.term.RoundTrigger;
import org.ternhinge.wire.ListedMachine;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;

/** Lists of machines in several pages, some of which the cloud's rate holds back. */
class MachineInventoryTest {
  private static final MachineId FIRST = new MachineId("n-000001");
  private static final MachineId LAST = new MachineId("n-000999");

  /** Twice the lag of the list, which the settings say is 10 s. */
  private static final double OLDEST_LIST_S = 20;

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final ScriptedCloud cloud = new ScriptedCloud();
  private final MachineInventory inventory = inventory();

  /** Answers calls for pages by a script, and without one by the whole list in two pages. */
  private static final class ScriptedCloud implements Cloud {
    private final Deque<String> script = new ArrayDeque<>();
    private final List<RequestPriority> asked = new ArrayList<>();

    @Override
    public CompletableFuture<Outcome<ListedMachine.Page>> list(
        MachineId after, int limit, RequestPriority priority) {
      asked.add(priority);
      String next = script.isEmpty() ? "page" : script.poll();
      Outcome<ListedMachine.Page> outcome =
          switch (next) {
            case "held" -> Outcome.notApplied(Reason.RATE_LIMITED, "no tokens");
            case "refused" -> Outcome.notApplied(Reason.REFUSED, "trouble");
            case "lost" -> Outcome.unknown("no answer");
            default -> Outcome.applied(page(after));
          };
      return CompletableFuture.completedFuture(outcome);
    }

    private static ListedMachine.Page page(MachineId after) {
      MachineId id = after == null ? FIRST : LAST;
      ListedMachine host =
          new ListedMachine(
              id, "10.0.1.1:9000", "small", "east", false, ListedMachine.State.RUNNING, 5);
      return new ListedMachine.Page(List.of(host), after == null);
    }

    @Override
    public CompletableFuture<Outcome<List<MachineType>>> machineTypes() {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Outcome<List<MachineId>>> provision(ProvisionRequest request) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Outcome<Integer>> release(List<MachineId> machines) {
      return new CompletableFuture<>();
    }
  }

  private MachineInventory inventory() {
    ControllerServices services = fixture.services(cloud);
    MachineRemoval removal =
        new MachineRemoval(
            fixture.machines,
            fixture.ledger,
            fixture.reportedTasks(),
            fixture.attempts,
            services.workers());
    RoundTrigger rounds = () -> fixture.roundsRequested++;
    return new MachineInventory(
        services,
        fixture.executor,
        fixture.machines,
        new MachineProvisioner(
            services,
            fixture.authority,
            fixture.executor,
            fixture.machines,
            rounds,
            fixture.bucketedRecords("r/")),
        new MachineReleaser(
            removal,
            services,
            fixture.authority,
            fixture.executor,
            fixture.machines,
            rounds,
            fixture.bucketedRecords("x/"),
            fixture.now()),
        removal,
        fixture.dispatcher,
        new TermAnnouncer(
            fixture.authority,
            fixture.dispatcher,
            (machine, status, origin, now) -> AgentStatusSink.Result.APPLIED,
            fixture.clock),
        rounds,
        fixture.now());
  }

  /**
   * With two calls a second there is never a token for the second page at once. When a list was
   * begun anew for that, one of more than a page never came to its end.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "page, 0.1",
    "page held page, 0.5",
    "held page held held page, 1.5",
    "page held held held held held held held held held held page, 4",
    "page refused page page, 6",
    "page lost page page, 6",
    "refused refused page held page, 11"
  })
  void aListComesToItsEnd(String script, double withinS) {
    cloud.script.addAll(List.of(script.split(" ")));
    inventory.list();
    fixture.clock.runFor(withinS);
    assertNotNull(fixture.machines.find(FIRST), "the first page");
    assertNotNull(fixture.machines.find(LAST), "the last page");
  }

  /** A page that has waited for long goes on a level with provision requests. */
  @Test
  void aPageThatWaitsIsNotPassedOverForEver() {
    for (int i = 0; i < 20; i++) {
      cloud.script.add("held");
    }
    inventory.list();
    fixture.clock.runFor(5);
    assertEquals(RequestPriority.QUERY, cloud.asked.get(0));
    assertEquals(RequestPriority.ATTEMPT, cloud.asked.get(15));
  }

  /**
   * A machine that is known and that no list has shown is gone once a list was begun late enough:
   * the next leader otherwise counts on those that provision requests of the last one have named.
   */
  @ParameterizedTest(name = "known for {0} s, {1}")
  @CsvSource({"0, , true", "15, , true", "21, , false", "21, held, false", "21, refused, true"})
  void whatNoListShowsIsGone(double knownForS, String secondPage, boolean stillThere) {
    MachineId other = new MachineId("n-000500");
    fixture.machines.findOrAdd(other, fixture.now());
    fixture.clock.runFor(knownForS);
    if (secondPage != null) {
      cloud.script.addAll(List.of("page", secondPage));
    }
    inventory.list();
    fixture.clock.runFor(1);
    assertEquals(stillThere, fixture.machines.find(other) != null);
    fixture.clock.runFor(OLDEST_LIST_S + 10);
    assertEquals(null, fixture.machines.find(other), "gone in the end");
  }
}
