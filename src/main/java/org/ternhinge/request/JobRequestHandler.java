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
  /**
   * Seconds after which a request that was forwarded to the leader is also tried elsewhere; the
   * leader's response is still awaited.
   */
  double fallbackDelayS();

  /** Seconds after which the user no longer waits for a response. */
  double deadlineS();

  /** Responds from the state of this node's leadership; called under the controller's lock. */
  void respondAsLeader(JobId id, Leadership leadership, Consumer<Response> responseCallback);

  /**
   * Responds from the key-value store, without the leader; may be called without the controller's
   * lock.
   */
  void respondFromStore(JobId id, Consumer<Response> responseCallback);
}
