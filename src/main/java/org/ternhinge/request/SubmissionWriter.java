package org.ternhinge.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
import org.ternhinge.store.KeyValueStore;
import org.ternhinge.wire.DependencyVerdict;
import org.ternhinge.wire.JobSpec;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.WireException;

/**
 * Accepts a job by writing its record, on condition that neither the record nor the job's end
 * exists. That makes it safe to repeat the write after a lost answer, and to have several nodes try
 * the same job. All methods run under the controller's lock.
 */
public final class SubmissionWriter {
  /** Each try after the first follows a lost answer, which has taken the store's whole time-out. */
  private static final int MAX_TRIES = 3;

  private final KeyValueStore store;
  private final JobLookup lookup;
  private final DependencyCheck dependencies;
  private final LeadershipRole role;
  private final Clock clock;
  private final LockedExecutor locked;
  private final int valueBytes;

  /**
   * Creates a writer.
   *
   * @param valueBytes the largest value that the key-value store takes
   */
  public SubmissionWriter(
      KeyValueStore store,
      JobLookup lookup,
      DependencyCheck dependencies,
      LeadershipRole role,
      Clock clock,
      Lock lock,
      int valueBytes) {
    this.store = store;
    this.lookup = lookup;
    this.dependencies = dependencies;
    this.role = role;
    this.clock = clock;
    this.locked = new LockedExecutor(lock);
    this.valueBytes = valueBytes;
  }

  /**
   * Accepts a job that may run as far as its description tells.
   *
   * @param verdict what another node has found of the job's dependencies; they are looked at here
   *     if it is missing
   * @param fallback takes the job where this node can't
   */
  void accept(
      JobSpec spec,
      Optional<DependencyVerdict> verdict,
      SubmissionFallback fallback,
      Consumer<Response> answer) {
    Acceptance acceptance = new Acceptance(spec, fallback, answer);
    if (spec.dependencies().isEmpty() || verdict.isPresent()) {
      acceptance.write(verdict);
    } else {
      dependencies.check(spec.dependencies(), acceptance::dependenciesChecked);
    }
  }

  /**
   * Answers with a job's state where it is known, whatever this repeat of its submission looks
   * like.
   */
  void answerIfKnown(JobId id, Response otherwise, Consumer<Response> answer) {
    lookup.find(id, RequestPriority.ACCEPT, result -> answer.accept(knownOr(result, otherwise)));
  }

  private static Response knownOr(JobLookup.Result result, Response otherwise) {
    if (result instanceof JobLookup.Found found) {
      return Responses.known(found.state());
    }
    return result instanceof JobLookup.Absent ? otherwise : Responses.busy();
  }

  /** One job on its way into the key-value store. */
  private final class Acceptance {
    private final JobSpec spec;
    private final SubmissionFallback fallback;
    private final Consumer<Response> answer;
    private Optional<DependencyVerdict> verdict = Optional.empty();
    private ObjectNode record;
    private int triesLeft = MAX_TRIES;

    Acceptance(JobSpec spec, SubmissionFallback fallback, Consumer<Response> answer) {
      this.spec = spec;
      this.fallback = fallback;
      this.answer = answer;
    }

    private void dependenciesChecked(DependencyCheck.Result result) {
      if (result instanceof DependencyCheck.Passed passed) {
        write(Optional.of(passed.verdict()));
      } else if (result instanceof DependencyCheck.Refused refused) {
        Response refusal = Responses.error(Responses.UNPROCESSABLE, refused.reason());
        answerIfKnown(spec.id(), refusal, answer);
      } else {
        fallback.offer(Optional.empty(), answer);
      }
    }

    void write(Optional<DependencyVerdict> found) {
      verdict = found;
      record = RecordCodec.fresh(spec, clock.wallMillis(), valueBytes);
      tryWrite();
    }

    private void tryWrite() {
      triesLeft--;
      Map<String, Revision> absent = new LinkedHashMap<>();
      absent.put(Keys.job(spec.id()), Revision.NONE);
      absent.put(Keys.end(spec.id()), Revision.NONE);
      Change put = new Change.Put(Keys.job(spec.id()), record, 0);
      locked.whenAnswered(
          store.compareAndSwap(new CompareAndSwap(absent, List.of(put)), RequestPriority.ACCEPT),
          this::written);
    }

    private void written(Outcome<Revision> outcome) {
      if (outcome instanceof Outcome.Applied<Revision> applied) {
        tellLeadership(applied.value());
        answer.accept(Response.of(Responses.CREATED, initialState().brief()));
      } else if (outcome != null && outcome.isBecause(Reason.CONFLICT)) {
        answerIfKnown(spec.id(), Responses.busy(), answer);
      } else if (outcome instanceof Outcome.NotApplied) {
        fallback.offer(verdict, answer);
      } else if (triesLeft > 0) {
        // The answer was lost. If the write was carried out, its record is found to stand already.
        tryWrite();
      } else {
        answer.accept(Responses.busy());
      }
    }

    private JobState initialState() {
      JobState.Phase phase = verdict.map(DependencyVerdict::phase).orElse(JobState.Phase.QUEUED);
      return new JobState(spec.id(), phase, 0, 0);
    }

    private void tellLeadership(Revision revision) {
      role.ready().ifPresent(leadership -> leadership.adopt(readBack(revision), revision));
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
