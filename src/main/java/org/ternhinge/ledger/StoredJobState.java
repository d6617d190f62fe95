package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.ternhinge.model.JobId;
import org.ternhinge.wire.JobState;
import org.ternhinge.wire.WireException;

/**
 * The state of a job according to its record or its final record alone, regardless of the state of
 * its dependencies. A record that can't be decoded is a result and not an exception, since callers
 * must respond to users in either case.
 */
public sealed interface StoredJobState {

  /**
   * The state of a job whose record was decoded.
   *
   * @param state the state that users see
   * @param service whether the job is known to be a service; a final record does not contain this
   * @param dependencies the dependencies of a job that has neither started nor ended
   */
  record Decoded(JobState state, boolean service, List<JobId> dependencies)
      implements StoredJobState {}

  /**
   * The job was accepted, but its record can't be decoded.
   *
   * @param reason description for the log
   */
  record Unreadable(String reason) implements StoredJobState {}

  /** Decodes the first segment of a job's record. */
  static StoredJobState ofRecord(JobId id, JsonNode value) {
    try {
      requireObject(value);
      return new Decoded(
          RecordCodec.decodeState(id, value),
          RecordCodec.isService(value),
          RecordCodec.unstartedDependencies(value));
    } catch (WireException e) {
      return new Unreadable(e.getMessage());
    }
  }

  /** Decodes the final record of a job. */
  static StoredJobState ofFinalRecord(JobId id, JsonNode value) {
    try {
      requireObject(value);
      return new Decoded(RecordCodec.decodeFinalRecord(id, value), false, List.of());
    } catch (WireException e) {
      return new Unreadable(e.getMessage());
    }
  }

  private static void requireObject(JsonNode value) throws WireException {
    if (value == null || !value.isObject()) {
      throw new WireException("not an object");
    }
  }
}
