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
 * Accepts a job by writing its record, on condition that neither the record nor an end record of
 * the job exists. That makes it safe to repeat the write after a lost response and to let several
 * nodes attempt to write the same job. All methods run under the controller's lock.
 */
public final class SubmissionWriter {
  /**
   * Each attempt after the first follows a lost response, which took the entire time-out of the
   * store.
   */
  private static final int MAX_ATTEMPTS = 3;

  /**
   * A job that is to be written.
   *
   * @param fallback destination of the job if this node can't write it
   * @param responseCallback receives the response for the user, exactly once
   */
  private record Submission(
      JobSpec spec, SubmissionFallback fallback, Consumer<Response> responseCallback) {}

  private final KeyValueStore store;
  private final JobLookup lookup;
  private final DependencyCheck dependencies;
  private final LeadershipRole role;
  private final Clock clock;
  private final LockedExecutor lockedExecutor;
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
    this.lockedExecutor = new LockedExecutor(lock);
    this.maxValueBytes = maxValueBytes;
  }

  /**
   * Accepts a job that has passed validation.
   *
   * @param verdict result of the dependency check by another node; if empty, this node checks the
   *     dependencies
   * @param fallback destination of the job if this node can't write it
   */
  void accept(
      JobSpec spec,
      Optional<DependencyCheckResult> verdict,
      SubmissionFallback fallback,
      Consumer<Response> responseCallback) {
    Submission submission = new Submission(spec, fallback, responseCallback);
    if (spec.dependencies().isEmpty() || verdict.isPresent()) {
      write(submission, verdict);
    } else {
      dependencies.check(spec.dependencies(), result -> handleDependencyCheck(submission, result));
    }
  }

  /**
   * Responds with the state of a job if it was accepted before, so that a repeated submission gets
   * the same response whatever its body contains.
   *
   * @param otherwise the response for a job that was never accepted
   */
  void respondWithKnownStateOr(Response otherwise, JobId id, Consumer<Response> responseCallback) {
    lookup.find(
        id,
        RequestPriority.ACCEPT,
        result ->
            responseCallback.accept(
                Responses.forLookup(result, Responses::existingJob, otherwise)));
  }

  private void handleDependencyCheck(Submission submission, DependencyCheck.Result result) {
    if (result instanceof DependencyCheck.Passed passed) {
      write(submission, Optional.of(passed.verdict()));
    } else if (result instanceof DependencyCheck.Rejected rejected) {
      Response error = Responses.error(Responses.UNPROCESSABLE, rejected.reason());
      respondWithKnownStateOr(error, submission.spec().id(), submission.responseCallback());
    } else {
      submission.fallback().forward(Optional.empty(), submission.responseCallback());
    }
  }

  private void write(Submission submission, Optional<DependencyCheckResult> verdict) {
    ObjectNode record =
        RecordCodec.encodeNew(submission.spec(), clock.wallClockMillis(), maxValueBytes);
    new RecordWrite(submission, verdict, record).attempt();
  }

  /** The write of one job's record, including retries. */
  private final class RecordWrite {
    private final JobId id;
    private final SubmissionFallback fallback;
    private final Consumer<Response> responseCallback;
    private final Optional<DependencyCheckResult> verdict;
    private final ObjectNode record;
    private int attemptsLeft = MAX_ATTEMPTS;

    RecordWrite(Submission submission, Optional<DependencyCheckResult> verdict, ObjectNode record) {
      this.id = submission.spec().id();
      this.fallback = submission.fallback();
      this.responseCallback = submission.responseCallback();
      this.verdict = verdict;
      this.record = record;
    }

    void attempt() {
      attemptsLeft--;
      List<KeyCondition> absent =
          List.of(KeyCondition.absent(Keys.job(id)), KeyCondition.absent(Keys.finalRecord(id)));
      Change put = new Change.Put(Keys.job(id), record, 0);
      lockedExecutor.whenComplete(
          store.compareAndSwap(new CompareAndSwap(absent, List.of(put)), RequestPriority.ACCEPT),
          this::handleOutcome);
    }

    private void handleOutcome(Outcome<Revision> outcome) {
      if (outcome instanceof Outcome.Applied<Revision> applied) {
        notifyLeadership(applied.value());
        responseCallback.accept(Response.of(Responses.CREATED, initialState().summaryBody()));
      } else if (outcome instanceof Outcome.NotApplied<Revision> notApplied) {
        handleRejectedWrite(notApplied.reason());
      } else if (attemptsLeft > 0) {
        // The response was lost. If the write was applied, the next attempt finds the record.
        attempt();
      } else {
        responseCallback.accept(Responses.busy());
      }
    }

    private void handleRejectedWrite(Reason reason) {
      if (reason == Reason.CONFLICT) {
        respondWithKnownStateOr(Responses.busy(), id, responseCallback);
      } else {
        fallback.forward(verdict, responseCallback);
      }
    }

    private JobState initialState() {
      JobState.Phase phase =
          verdict.map(DependencyCheckResult::initialPhase).orElse(JobState.Phase.QUEUED);
      return new JobState(id, phase, 0, 0);
    }

    private void notifyLeadership(Revision revision) {
      role.ready().ifPresent(leadership -> leadership.admitJob(readBack(revision), revision));
    }

    private Job readBack(Revision revision) {
      try {
        return LedgerLoader.read(record, revision, clock.now());
      } catch (WireException e) {
        throw new IllegalStateException(
            "can't decode the job record that this node has just encoded", e);
      }
    }
  }
}
