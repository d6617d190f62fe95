package org.ternhinge.attempt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.ternhinge.leadership.LeadershipFixture;
import org.ternhinge.ledger.LedgerWriter;
import org.ternhinge.machine.Machine;
import org.ternhinge.model.Term;

/** Tests that tokens are used only after they are durably reserved, and reserved rarely. */
class FencingTokensTest {
  private static final Term TERM = new Term(1);

  private final LeadershipFixture fixture = new LeadershipFixture();
  private final FencingTokens tokens = fixture.tokens;
  private final Machine machine = fixture.addMachine("n-1");
  private final Machine other = fixture.addMachine("n-2");

  private void reserve() {
    tokens.reserve();
    fixture.clock.runFor(0.1);
  }

  private Term lastToken() {
    return fixture.authority.lastToken();
  }

  @Test
  void workersBeginWithTerm() {
    reserve();
    assertEquals(TERM, tokens.tokenOf(machine));
    assertEquals(TERM, fixture.authority.term());
  }

  @Test
  void raiseConcernsOneWorker() {
    reserve();
    assertTrue(tokens.raise(machine));
    assertTrue(tokens.raise(machine));
    assertEquals(new Term(3), tokens.tokenOf(machine));
    assertEquals(TERM, tokens.tokenOf(other));
  }

  /** Another leader may have claimed the next term. */
  @Test
  void tokenIsNotRaisedBeforeReservationIsDurable() {
    fixture.store.pauseWrites();
    assertFalse(tokens.raise(machine));
    fixture.clock.runFor(20);
    assertFalse(tokens.raise(machine));
    assertEquals(TERM, tokens.tokenOf(machine));
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertTrue(tokens.raise(machine));
  }

  @Test
  void reservationInProgressSuppressesSecondOne() {
    fixture.store.pauseWrites();
    tokens.reserve();
    fixture.clock.runFor(20);
    tokens.reserve();
    fixture.store.resume();
    fixture.clock.runFor(1);
    assertEquals(TERM.plus(LedgerWriter.RESERVED_TOKENS), lastToken());
  }

  @Test
  void moreTokensAreReservedBeforeTheyRunOut() {
    reserve();
    Term reserved = lastToken();
    machine.agent().setIssuedToken(TERM.plus(LedgerWriter.RESERVED_TOKENS / 2 - 2));
    assertTrue(tokens.raise(machine));
    fixture.clock.runFor(0.1);
    assertEquals(reserved, lastToken());
    assertTrue(tokens.raise(machine));
    assertTrue(tokens.raise(machine));
    fixture.clock.runFor(0.1);
    assertEquals(reserved.plus(LedgerWriter.RESERVED_TOKENS), lastToken());
    assertEquals(TERM, fixture.authority.term());
  }

  @Test
  void tokenNeverExceedsReservation() {
    reserve();
    fixture.store.pauseWrites();
    machine.agent().setIssuedToken(new Term(lastToken().value() - 1));
    assertTrue(tokens.raise(machine));
    assertFalse(tokens.raise(machine));
    assertEquals(lastToken(), tokens.tokenOf(machine));
  }
}
