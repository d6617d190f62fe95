package org.ternhinge.model;

import java.util.function.Function;

/**
 * What is known of a request to another system. The three cases are kept apart by type, because
 * taking a lost answer for a failure is how a task is started twice.
 */
public sealed interface Outcome<T> {

  /** The request was carried out. */
  record Applied<T>(T value) implements Outcome<T> {}

  /** The request was certainly not carried out. */
  record NotApplied<T>(Reason reason, String detail) implements Outcome<T> {}

  /** The request may have been carried out, or may yet be. */
  record Unknown<T>(String detail) implements Outcome<T> {}

  /** Why a request was not carried out. */
  enum Reason {
    /** A condition did not hold; the detail lists the keys. */
    CONFLICT,
    /** The other side answered that it can't at present. */
    REFUSED,
    /** Our own token bucket held it back. */
    RATE_LIMITED,
    /** No connection came about. */
    NO_CONNECTION,
    /** The caller's condition for sending it no longer held when it could be sent. */
    WITHDRAWN,
    NOT_FOUND,
    INVALID,
    /** The revision asked for is no longer kept. */
    TOO_OLD,
    /** The answer is larger than what is taken in at once. */
    TOO_LARGE
  }

  /** The call was carried out. */
  static <T> Outcome<T> applied(T value) {
    return new Applied<>(value);
  }

  /** The call was certainly not carried out. */
  static <T> Outcome<T> notApplied(Reason reason, String detail) {
    return new NotApplied<>(reason, detail);
  }

  /** Whether the call was carried out, or will be, is not known. */
  static <T> Outcome<T> unknown(String detail) {
    return new Unknown<>(detail);
  }

  /** What follows from the value of a call that was carried out; otherwise the same outcome. */
  default <R> Outcome<R> flatMap(Function<T, Outcome<R>> next) {
    if (this instanceof Applied<T> applied) {
      return next.apply(applied.value());
    }
    if (this instanceof NotApplied<T> notApplied) {
      return notApplied(notApplied.reason(), notApplied.detail());
    }
    return unknown(((Unknown<T>) this).detail());
  }

  /** The same outcome with another value. */
  default <R> Outcome<R> map(Function<T, R> change) {
    return flatMap(value -> applied(change.apply(value)));
  }

  /** Whether the call was not carried out for this reason. */
  default boolean isBecause(Reason reason) {
    return this instanceof NotApplied<T> n && n.reason() == reason;
  }
}
