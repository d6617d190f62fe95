package org.ternhinge.scaling;

import org.ternhinge.wire.ProvisionRequest;

/** Identifies an offer: spot or on-demand machines of one type in one zone. */
record OfferKey(String typeName, String zoneName, boolean spot) {
  static OfferKey of(ProvisionRequest request) {
    return new OfferKey(request.type(), request.zone(), request.spot());
  }

  /** Formats the offer for the log. */
  @Override
  public String toString() {
    return typeName + " " + zoneName + (spot ? " spot" : "");
  }
}
