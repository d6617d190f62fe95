package org.ternhinge.model;

import java.util.function.Function;

/**
 * The outcome of a request to another system. An unknown outcome is a type of its own, because a
 * lost response that is mistaken for a failure leads to a task being started twice.
 *
 * @param <T> value of a request that was carried out
 */
public sealed interface Outcome<T> {

  /**
   * The request was carried out.
   *
   * @param value the decoded response
   */
  record Applied<T>(T value) implements Outcome<T> {}

  /**
   * The request was definitely not carried out.
   *
   * @param reason why it was not carried out
   * @param detail details for the log
   */
  record NotApplied<T>(Reason reason, String detail) implements Outcome<T> {}

  /**
   * The request may have been carried out, or may still be.
   *
   * @param detail description of the failure for the log
   */
  record Unknown<T>(String detail) implements Outcome<T> {}

  /** Why a request was not carried out. */
  enum Reason {
    /** A precondition failed; the detail lists the keys. */
    CONFLICT,
    /** The other system reported that it is temporarily unavailable. */
    REFUSED,
    /** The other system reported that this process sends too many requests. */
    TOO_MANY_REQUESTS,
    /** No token was left in the token bucket of this process, or the cloud's rate is exceeded. */
    RATE_LIMITED,
    /** No connection could be established. */
    NO_CONNECTION,
    /**
     * The caller's condition for sending the request no longer held when a connection was
     * available.
     */
    WITHDRAWN,
    /** The requested object does not exist. */
    NOT_FOUND,
    /** The other system rejected the request as malformed. */
    INVALID,
    /** The requested revision is no longer retained. */
    TOO_OLD,
    /** The response is larger than the client's limit. */
    TOO_LARGE
  }

  /** Creates the outcome of a request that was carried out. */
  static <T> Outcome<T> applied(T value) {
    return new Applied<>(value);
  }

  /** Creates the outcome of a request that was definitely not carried out. */
  static <T> Outcome<T> notApplied(Reason reason, String detail) {
    return new NotApplied<>(reason, detail);
  }

  /** Creates the outcome of a request that may or may not have been carried out. */
  static <T> Outcome<T> unknown(String detail) {
    return new Unknown<>(detail);
  }

  /** Applies a function that returns an outcome to the value; other outcomes are passed on. */
  default <R> Outcome<R> flatMap(Function<T, Outcome<R>> next) {
    if (this instanceof Applied<T> applied) {
      return next.apply(applied.value());
    }
    if (this instanceof NotApplied<T> notApplied) {
      return notApplied(notApplied.reason(), notApplied.detail());
    }
    return unknown(((Unknown<T>) this).detail());
  }

  /** Applies a function to the value; other outcomes are passed on. */
  default <R> Outcome<R> map(Function<T, R> change) {
    return flatMap(value -> applied(change.apply(value)));
  }

  /** Whether the request was not carried out for the given reason. */
  default boolean isNotApplied(Reason reason) {
    return this instanceof NotApplied<T> notApplied && notApplied.reason() == reason;
  }
}
