package org.ternhinge.model;

import java.util.function.Function;

/**
 * What is known about a request to another system. The three cases are separate types, because a
 * lost answer that is mistaken for a failure leads to a task that is started twice.
 *
 * @param <T> value of a request that was carried out
 */
public sealed interface Outcome<T> {

  /**
   * The request was carried out.
   *
   * @param value the decoded answer
   */
  record Applied<T>(T value) implements Outcome<T> {}

  /**
   * The request was certainly not carried out.
   *
   * @param reason why not
   * @param detail further information for the log
   */
  record NotApplied<T>(Reason reason, String detail) implements Outcome<T> {}

  /**
   * The request may have been carried out, or may still be.
   *
   * @param detail what went wrong, for the log
   */
  record Unknown<T>(String detail) implements Outcome<T> {}

  /** Why a request was not carried out. */
  enum Reason {
    /** A condition did not hold; the detail lists the keys. */
    CONFLICT,
    /** The other system answered that it cannot carry out requests at present. */
    REFUSED,
    /** The other system answered that this process sends too many requests. */
    TOO_MANY_REQUESTS,
    /** No token was left in the token bucket of this process, or the cloud's rate is exceeded. */
    RATE_LIMITED,
    /** No connection could be established. */
    NO_CONNECTION,
    /** The caller's condition for sending the request no longer held when it could be sent. */
    WITHDRAWN,
    /** What the request names does not exist. */
    NOT_FOUND,
    /** The other system rejects the request as malformed. */
    INVALID,
    /** The requested revision is no longer retained. */
    TOO_OLD,
    /** The answer is larger than the client's limit. */
    TOO_LARGE
  }

  /** Creates the outcome of a request that was carried out. */
  static <T> Outcome<T> applied(T value) {
    return new Applied<>(value);
  }

  /** Creates the outcome of a request that was certainly not carried out. */
  static <T> Outcome<T> notApplied(Reason reason, String detail) {
    return new NotApplied<>(reason, detail);
  }

  /** Creates the outcome of a request that may or may not have been carried out. */
  static <T> Outcome<T> unknown(String detail) {
    return new Unknown<>(detail);
  }

  /** Continues with the value of a request that was carried out; any other outcome stays. */
  default <R> Outcome<R> flatMap(Function<T, Outcome<R>> next) {
    if (this instanceof Applied<T> applied) {
      return next.apply(applied.value());
    }
    if (this instanceof NotApplied<T> notApplied) {
      return notApplied(notApplied.reason(), notApplied.detail());
    }
    return unknown(((Unknown<T>) this).detail());
  }

  /** Converts the value of a request that was carried out; any other outcome stays. */
  default <R> Outcome<R> map(Function<T, R> change) {
    return flatMap(value -> applied(change.apply(value)));
  }

  /** Whether the request was not carried out, for this reason. */
  default boolean isNotApplied(Reason reason) {
    return this instanceof NotApplied<T> notApplied && notApplied.reason() == reason;
  }
}
