package org.ternhinge.http;

/**
 * How a process divides its limit of sockets. Without shares, the connections of a large fleet's
 * workers, or a burst of commands to them, use up all sockets; users, health probes, other
 * controllers and the key-value store are then refused as if the process were dead.
 *
 * @param minIdleOutbound idle outbound connections, as long as the inbound ones use their share
 * @param maxOutboundCalls outbound connections to workers in use at the same time
 * @param maxPersistentWorkers persistent inbound connections of workers; others are closed after each answer
 * @param maxInbound inbound connections that may be open
 */
public record SocketBudget(int minIdleOutbound, int maxOutboundCalls, int maxPersistentWorkers, int maxInbound) {
  /** Idle outbound connections, and calls, get one socket in this many each. */
  private static final int CALLS_FRACTION = 12;

  /** One socket in this many is left for listening, other controllers and the outside systems. */
  private static final int RESERVE_FRACTION = 20;

  /** One inbound connection in this many is left for users and health probes. */
  private static final int USERS_FRACTION = 10;

  /** Divides a limit of sockets. */
  public static SocketBudget of(int maxSockets) {
    int kept = Math.max(1, maxSockets / CALLS_FRACTION);
    int calls = Math.max(1, maxSockets / CALLS_FRACTION);
    int all = Math.max(2, maxSockets - kept - calls - maxSockets / RESERVE_FRACTION);
    return new SocketBudget(kept, calls, all - Math.max(1, all / USERS_FRACTION), all);
  }

  /**
   * How many idle outbound connections may be kept beside a number of inbound ones. They get the
   * unused part of the workers' share: a new connection for each command costs several times as
   * much as the command itself.
   */
  int maxIdleOutbound(int inbound) {
    return Math.max(minIdleOutbound, minIdleOutbound + maxPersistentWorkers - inbound);
  }
}
