package org.ternhinge.http;

/**
 * Time limits of a call, in seconds.
 *
 * @param callS limit of the whole call
 * @param connectS limit for establishing a connection
 */
public record CallTimeouts(double callS, double connectS) {
  private static final double DEFAULT_CONNECT_S = 1.5;

  /** Creates time limits with the default connect time-out. */
  public static CallTimeouts of(double callS) {
    return new CallTimeouts(callS, DEFAULT_CONNECT_S);
  }
}
