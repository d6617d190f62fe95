package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Supplier;

/**
 * A pending write to a key other than a job's record, such as the term or the provision requests in
 * progress.
 *
 * @param value evaluated when the transaction is built, so that several earlier requests for a key
 *     result in one change
 * @param onDurable callbacks that run in order once the value is durable in the key-value store
 */
record AuxiliaryWrite(String key, Supplier<JsonNode> value, List<Runnable> onDurable) {}
