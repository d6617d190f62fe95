package org.ternhinge.ledger;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each record that can't be decoded once, since such a record is read again whenever somebody
 * asks for its job. Thread-safe.
 */
public final class UnreadableRecordLog {
  private static final Logger LOG = LoggerFactory.getLogger(UnreadableRecordLog.class);

  /** Number of keys remembered as logged; beyond it, the oldest may be logged again. */
  static final int MAX_KEYS = 1000;

  private final BiConsumer<String, String> logger;
  private final Set<String> loggedKeys = new LinkedHashSet<>();

  /** Creates an instance that has logged nothing yet. */
  public UnreadableRecordLog() {
    this((key, reason) -> LOG.error("record {} is unreadable: {}", key, reason));
  }

  /**
   * Creates an instance that has logged nothing yet.
   *
   * @param logger receives the key and the reason of each record that is to be logged
   */
  UnreadableRecordLog(BiConsumer<String, String> logger) {
    this.logger = logger;
  }

  /** Logs that the value of a key can't be decoded, unless that was logged before. */
  public void report(String key, String reason) {
    if (addIfNew(key)) {
      logger.accept(key, reason);
    }
  }

  private synchronized boolean addIfNew(String key) {
    if (!loggedKeys.add(key)) {
      return false;
    }
    if (loggedKeys.size() > MAX_KEYS) {
      loggedKeys.remove(loggedKeys.iterator().next());
    }
    return true;
  }
}
