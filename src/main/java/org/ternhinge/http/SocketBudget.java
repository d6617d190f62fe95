package org.ternhinge.http;

/**
 * Division of a process's socket limit among its uses. Without it, the connections of the workers
 * of a large fleet, or a burst of commands to them, exhaust all sockets; connections of users,
 * health probes, other controllers and the key-value store then fail as if the process were down.
 *
 * @param minIdleOutbound number of idle outbound connections that is allowed in any case, even if
 *     workers use all of their persistent connections
 * @param maxOutboundCalls maximum number of concurrent calls to workers
 * @param maxPersistentWorkers maximum number of persistent connections of workers; further ones are
 *     closed after each response
 * @param maxInbound maximum number of open inbound connections
 */
public record SocketBudget(
    int minIdleOutbound, int maxOutboundCalls, int maxPersistentWorkers, int maxInbound) {
  /**
   * Divisor for the share of idle outbound connections, and of outbound calls, in the socket limit.
   */
  private static final int OUTBOUND_DIVISOR = 12;

  /** Divisor for the share reserved for listening, other controllers and external systems. */
  private static final int RESERVE_DIVISOR = 20;

  /** Divisor for the share of the inbound connections reserved for users and health probes. */
  private static final int USERS_DIVISOR = 10;

  /**
   * Divisor for the idle connections that are kept to the key-value store and to the cloud each, in
   * the share of idle outbound connections. Both fit the reserve of the budget.
   */
  private static final int SERVICE_DIVISOR = 4;

  /** Creates the budget for a socket limit. */
  public static SocketBudget of(int maxSockets) {
    int idle = Math.max(1, maxSockets / OUTBOUND_DIVISOR);
    int calls = Math.max(1, maxSockets / OUTBOUND_DIVISOR);
    int inbound = Math.max(2, maxSockets - idle - calls - maxSockets / RESERVE_DIVISOR);
    return new SocketBudget(idle, calls, inbound - Math.max(1, inbound / USERS_DIVISOR), inbound);
  }

  /**
   * The number of idle connections that are kept to each system other than workers. Renewals of the
   * leadership lease use them, which must not have to wait for a socket.
   */
  int maxIdleToService() {
    return Math.max(1, minIdleOutbound / SERVICE_DIVISOR);
  }

  /**
   * The limit of idle outbound connections for a number of open inbound ones. Idle connections may
   * use the persistent connections that workers leave unused, since a new connection for each
   * command costs several times as much as the command itself.
   */
  int maxIdleOutbound(int inbound) {
    return Math.max(minIdleOutbound, minIdleOutbound + maxPersistentWorkers - inbound);
  }
}
