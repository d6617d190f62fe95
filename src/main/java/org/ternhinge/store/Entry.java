package org.ternhinge.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.ternhinge.model.Revision;

/**
 * A key with its value and revision, as read from the store.
 *
 * @param key the key
 * @param value its value
 * @param revision the revision of its latest change
 */
public record Entry(String key, JsonNode value, Revision revision) {}
