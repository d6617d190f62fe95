package org.ternhinge.request;

import java.util.function.Consumer;
import org.ternhinge.http.Response;
import org.ternhinge.leadership.Leadership;
import org.ternhinge.model.JobId;

/**
 * Handles one kind of request about a job, either as the leader or from the key-value store. {@link
 * JobRequestRouter} decides between the two. Both methods call the callback exactly once,
 * immediately or later.
 */
public interface JobRequestHandler {
  /** Time-out in seconds of a request that is forwarded to the leader. */
  double leaderTimeoutS();

  /** Responds from the state of this node's leadership; called under the controller's lock. */
  void respondAsLeader(JobId id, Leadership leadership, Consumer<Response> responseCallback);

  /**
   * Responds from the key-value store, without the leader; may be called without the controller's
   * lock.
   */
  void respondFromStore(JobId id, Consumer<Response> responseCallback);
}
