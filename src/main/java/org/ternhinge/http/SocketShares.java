package org.ternhinge.http;

/**
 * How a process shares out its sockets. Without shares, the connections of a large fleet's workers,
 * or a burst of commands to them, take the last socket, and then users, probes, other controllers
 * and the key-value store are refused as if the process were dead.
 *
 * @param kept idle connections to other systems, as long as no more is free
 * @param calls connections to workers in use at once
 * @param workers kept connections of workers; those beyond are closed after each answer
 * @param all connections that may be open to this process
 */
public record SocketShares(int kept, int calls, int workers, int all) {
  private static final int CALLS_PART = 12;
  private static final int SPARE_PART = 20;
  private static final int USERS_PART = 10;

  /** The rest, one part in twenty, is for listening, other controllers and the outside systems. */
  public static SocketShares of(int maxSockets) {
    int kept = Math.max(1, maxSockets / CALLS_PART);
    int calls = Math.max(1, maxSockets / CALLS_PART);
    int all = Math.max(2, maxSockets - kept - calls - maxSockets / SPARE_PART);
    return new SocketShares(kept, calls, all - Math.max(1, all / USERS_PART), all);
  }

  /**
   * Idle connections to other systems that may be kept beside those now open to this process. What
   * its share leaves unused goes to them: a new connection for each command costs several times
   * what the command itself does.
   */
  int keptBeside(int connections) {
    return Math.max(kept, kept + workers - connections);
  }
}
