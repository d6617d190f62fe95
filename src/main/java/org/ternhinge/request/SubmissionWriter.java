package org.ternhinge.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.LeadershipRole;
import org.ternhinge.ledger.Job;
import org.ternhinge.ledger.Keys;
import org.ternhinge.ledger.LedgerLoader;
import org.ternhinge.ledger.RecordCodec;
import org.ternhinge.limit.RequestPriority;
import org.ternhinge.model.Clock;
import org.ternhinge.model.JobId;
import org.ternhinge.model.LockedExecutor;
import org.ternhinge.model.Outcome;
import org.ternhinge.model.Outcome.Reason;
import org.ternhinge.model.Revision;
import org.ternhinge.store.Change;
import org.ternhinge.store.CompareAndSwap;
import org.ternhinge.store.KeyCondition;
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.DependencyCheckResult;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.WireException;

/**
 * Accepts a job by writing its record, on condition that neither the record nor the job's end
 * exists. That makes it safe to repeat the write after a lost answer, and to have several nodes try
 * the same job. All methods run under the controller's lock.
 */
public final class SubmissionWriter {
  /** Each attempt after the first follows a lost answer, which took the store's whole time-out. */
  private static final int MAX_ATTEMPTS = 3;

  /**
   * One job that is to be written.
   *
   * @param fallback where the job is forwarded if this node can't write it
   * @param answer gets the answer for the user, exactly once
   */
  private record Submission(JobSpec spec, SubmissionFallback fallback, Consumer<Response> answer) {}

  private final KeyValueStore store;
  private final JobLookup lookup;
  private final DependencyCheck dependencies;
  private final LeadershipRole role;
  private final Clock clock;
  private final LockedExecutor locked;
  private final int maxValueBytes;

  /**
   * Creates a writer.
   *
   * @param lock the controller's lock
   * @param maxValueBytes the largest value that the key-value store accepts
   */
  public SubmissionWriter(
      KeyValueStore store,
      JobLookup lookup,
      DependencyCheck dependencies,
      LeadershipRole role,
      Clock clock,
      Lock lock,
      int maxValueBytes) {
    this.store = store;
    this.lookup = lookup;
    this.dependencies = dependencies;
    this.role = role;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.maxValueBytes = maxValueBytes;
  }

  /**
   * Accepts a job that has passed validation.
   *
   * @param verdict another node's result of the dependency check; without it the dependencies are
   *     checked here
   * @param fallback where the job is forwarded if this node can't write it
   */
  void accept(
      JobSpec spec,
      Optional<DependencyCheckResult> verdict,
      SubmissionFallback fallback,
      Consumer<Response> answer) {
    Submission submission = new Submission(spec, fallback, answer);
    if (spec.dependencies().isEmpty() || verdict.isPresent()) {
      write(submission, verdict);
    } else {
      dependencies.check(spec.dependencies(), result -> dependenciesChecked(submission, result));
    }
  }

  /**
   * Answers with a job's state if it was accepted before, so that a repeated submission gets the
   * same answer whatever its body says.
   *
   * @param otherwise the answer for a job that was never accepted
   */
  void answerKnownOr(Response otherwise, JobId id, Consumer<Response> answer) {
    lookup.find(
        id,
        RequestPriority.ACCEPT,
        result -> answer.accept(Responses.ofLookup(result, Responses::known, otherwise)));
  }

  private void dependenciesChecked(Submission submission, DependencyCheck.Result result) {
    if (result instanceof DependencyCheck.Passed passed) {
      write(submission, Optional.of(passed.verdict()));
    } else if (result instanceof DependencyCheck.Rejected rejected) {
      Response error = Responses.error(Responses.UNPROCESSABLE, rejected.reason());
      answerKnownOr(error, submission.spec().id(), submission.answer());
    } else {
      submission.fallback().forward(Optional.empty(), submission.answer());
    }
  }

  private void write(Submission submission, Optional<DependencyCheckResult> verdict) {
    ObjectNode record =
        RecordCodec.encodeNew(submission.spec(), clock.wallClockMillis(), maxValueBytes);
    new RecordWrite(submission, verdict, record).attempt();
  }

  /** The write of one job's record, with its retries. */
  private final class RecordWrite {
    private final JobId id;
    private final SubmissionFallback fallback;
    private final Consumer<Response> answer;
    private final Optional<DependencyCheckResult> verdict;
    private final ObjectNode record;
    private int attemptsLeft = MAX_ATTEMPTS;

    RecordWrite(Submission submission, Optional<DependencyCheckResult> verdict, ObjectNode record) {
      this.id = submission.spec().id();
      this.fallback = submission.fallback();
      this.answer = submission.answer();
      this.verdict = verdict;
      this.record = record;
    }

    void attempt() {
      attemptsLeft--;
      List<KeyCondition> absent =
          List.of(KeyCondition.absent(Keys.job(id)), KeyCondition.absent(Keys.end(id)));
      Change put = new Change.Put(Keys.job(id), record, 0);
      locked.whenComplete(
          store.compareAndSwap(new CompareAndSwap(absent, List.of(put)), RequestPriority.ACCEPT),
          this::answered);
    }

    private void answered(Outcome<Revision> outcome) {
      if (outcome instanceof Outcome.Applied<Revision> applied) {
        notifyLeadership(applied.value());
        answer.accept(Response.of(Responses.CREATED, initialState().summaryBody()));
      } else if (outcome instanceof Outcome.NotApplied<Revision> notApplied) {
        notWritten(notApplied.reason());
      } else if (attemptsLeft > 0) {
        // The answer was lost. If the write was applied, the next attempt finds its record.
        attempt();
      } else {
        answer.accept(Responses.busy());
      }
    }

    private void notWritten(Reason reason) {
      if (reason == Reason.CONFLICT) {
        answerKnownOr(Responses.busy(), id, answer);
      } else {
        fallback.forward(verdict, answer);
      }
    }

    private JobState initialState() {
      JobState.Phase phase =
          verdict.map(DependencyCheckResult::initialPhase).orElse(JobState.Phase.QUEUED);
      return new JobState(id, phase, 0, 0);
    }

    private void notifyLeadership(Revision revision) {
      role.ready().ifPresent(leadership -> leadership.jobAccepted(readBack(revision), revision));
    }

    private Job readBack(Revision revision) {
      try {
        return LedgerLoader.read(record, revision, clock.now());
      } catch (WireException e) {
        throw new IllegalStateException("an own record can't be read", e);
      }
    }
  }
}
