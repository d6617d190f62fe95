package org.ternhinge.scaling;

import org.ternhinge.wire.ProvisionRequest;

/**
 * Identifies what can be provisioned: machines of one type in one zone, either spot instances or
 * not.
 */
record OfferKey(String typeName, String zoneName, boolean spot) {
  static OfferKey of(ProvisionRequest request) {
    return new OfferKey(request.type(), request.zone(), request.spot());
  }

  /** The offer as in the log. */
  @Override
  public String toString() {
    return typeName + " " + zoneName + (spot ? " spot" : "");
  }
}
