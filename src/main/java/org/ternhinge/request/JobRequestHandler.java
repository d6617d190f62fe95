package org.ternhinge.request;

import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.model.JobId;

/**
 * Answers one kind of request about a job, either as the leader or from the key-value store. {@link
 * JobRequestRouter} decides which of the two. Both methods answer exactly once, now or later.
 */
public interface JobRequestHandler {
  /** How long another node is waited for that leads, in seconds. */
  double leaderTimeoutS();

  /** Answers from the state of this node's leadership; called under the controller's lock. */
  void answerAsLeader(JobId id, Leadership leadership, Consumer<Response> answer);

  /** Answers without a leader; may be called without the controller's lock. */
  void answerFromStore(JobId id, Consumer<Response> answer);
}
