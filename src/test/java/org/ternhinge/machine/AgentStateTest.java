package org.ternhinge.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.config.Settings;
import org.ternhinge.model.AgentEpoch;
import org.ternhinge.model.Endpoint;
import org.ternhinge.model.MachineId;
import org.ternhinge.model.MonotonicTime;
import org.ternhinge.model.Term;
import org.ternhinge.wire.Heartbeat;

/** Epochs, message order, lease and fencing token of a worker agent. */
class AgentStateTest {
  private static final MonotonicTime NOW = new MonotonicTime(0);
  private static final MonotonicTime LEASE_EXPIRY = NOW.plusSeconds(30);

  private final AgentState agent = new AgentState(LEASE_EXPIRY);

  private static Heartbeat message(long epoch, long sequence) {
    return new Heartbeat(
        new MachineId("n-1"),
        "10.0.1.1:9000",
        "small",
        "east",
        false,
        new AgentEpoch(epoch),
        sequence,
        Term.NONE,
        null,
        List.of());
  }

  /** Delayed messages must not replace newer state. */
  @Nested
  class MessageOrder {
    /** The newest message has sequence number 7 in epoch 3, and epochs up to 2 have ended. */
    @ParameterizedTest(name = "epoch {0}, sequence {1}")
    @CsvSource({
      "3, 8, false",
      "3, 7, true",
      "3, 6, true",
      "4, 0, false",
      "2, 9, true",
      "1, 9, true"
    })
    void messageNotNewerIsOutdated(long epoch, long sequence, boolean outdated) {
      agent.endEpochsUpTo(new AgentEpoch(2));
      agent.beginEpoch(new AgentEpoch(3));
      agent.setSequence(7);
      assertEquals(outdated, agent.isOutdated(message(epoch, sequence)));
    }

    /**
     * An epoch known from an attempt may end by lease expiry before any of its messages arrives.
     */
    @Test
    void newerMessageOfEndedEpochIsOutdated() {
      agent.beginEpoch(new AgentEpoch(3));
      agent.endEpochsUpTo(new AgentEpoch(5));
      assertTrue(agent.isOutdated(message(5, 1)));
      assertFalse(agent.isOutdated(message(6, 1)));
    }

    @Test
    void epochIsOpenUntilItEnds() {
      agent.beginEpoch(new AgentEpoch(3));
      assertTrue(agent.isEpochOpen());
      agent.endEpochsUpTo(new AgentEpoch(3));
      assertFalse(agent.isEpochOpen());
      assertTrue(agent.hasEnded(new AgentEpoch(2)));
      agent.beginEpoch(new AgentEpoch(4));
      assertTrue(agent.isEpochOpen());
      assertEquals(new AgentEpoch(3), agent.lastEndedEpoch());
    }
  }

  /** The time after which the agent has killed its tasks. */
  @Nested
  class Lease {
    @Test
    void isExtendedButNeverShortened() {
      agent.extendLease(NOW.plusSeconds(20));
      assertEquals(LEASE_EXPIRY, agent.leaseExpiry());
      agent.extendLease(NOW.plusSeconds(40));
      assertEquals(NOW.plusSeconds(40), agent.leaseExpiry());
    }

    @ParameterizedTest
    @CsvSource({"29, false", "30, false", "30.1, true"})
    void expiresAfterExpiryTime(double afterS, boolean expired) {
      assertEquals(expired, agent.isLeaseExpired(NOW.plusSeconds(afterS)));
    }
  }

  /** The time since the newest message. */
  @Nested
  class Silence {
    private static final Settings.WorkerTimings WORKERS =
        new Settings.WorkerTimings(2, 10, 30, 5, 20);

    @Test
    void isInfiniteBeforeTheFirstMessage() {
      assertFalse(agent.hasReported());
      assertEquals(Double.POSITIVE_INFINITY, agent.silenceS(NOW));
      assertTrue(agent.isOverdue(WORKERS, NOW));
    }

    @Test
    void countsFromTheNewestMessage() {
      agent.recordMessage(NOW);
      agent.recordMessage(NOW.plusSeconds(3));
      assertTrue(agent.hasReported());
      assertEquals(NOW.plusSeconds(3), agent.lastMessageAt());
      assertEquals(4, agent.silenceS(NOW.plusSeconds(7)), 1e-9);
      assertFalse(agent.isOverdue(WORKERS, NOW.plusSeconds(3 + WORKERS.overdueS() - 0.1)));
      assertTrue(agent.isOverdue(WORKERS, NOW.plusSeconds(3 + WORKERS.overdueS() + 0.1)));
    }
  }

  /** Fencing tokens, answers and announcements. */
  @Nested
  class Terms {
    @Test
    void fencingTokenNeverDecreases() {
      agent.observeFencingToken(new Term(4));
      agent.observeFencingToken(new Term(3));
      assertEquals(new Term(4), agent.fencingToken());
      agent.observeFencingToken(new Term(5));
      assertEquals(new Term(5), agent.fencingToken());
    }

    @Test
    void termOfLastAnswerIsKept() {
      assertFalse(agent.wasAnswered());
      agent.recordAnswer(new Term(4));
      assertTrue(agent.wasAnswered());
      assertTrue(agent.wasAnsweredIn(new Term(4)));
      agent.recordAnswer(new Term(5));
      assertFalse(agent.wasAnsweredIn(new Term(4)));
    }

    @Test
    void announcementIsRecorded() {
      assertFalse(agent.isTermAnnounced());
      agent.markTermAnnounced();
      assertTrue(agent.isTermAnnounced());
    }
  }

  /** The endpoint for direct commands. */
  @Nested
  class Address {
    @Test
    void isInitiallyUnknown() {
      assertFalse(agent.hasEndpoint());
      assertEquals(Optional.empty(), agent.endpoint());
    }

    @Test
    void isReplacedByNewerOne() {
      agent.setEndpoint("10.0.1.1:9000");
      agent.setEndpoint("10.0.1.2:9000");
      assertTrue(agent.hasEndpoint());
      assertEquals(Optional.of(new Endpoint("10.0.1.2", 9000)), agent.endpoint());
    }

    @Test
    void isKeptIfNewerOneIsInvalid() {
      agent.setEndpoint("10.0.1.1:9000");
      assertThrows(IllegalArgumentException.class, () -> agent.setEndpoint("nowhere"));
      assertEquals(Optional.of(new Endpoint("10.0.1.1", 9000)), agent.endpoint());
    }
  }
}
