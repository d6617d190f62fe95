package org.ternhinge.store;

import org.ternhinge.model.Revision;

import com.fasterxml.jackson.databind.JsonNode;

/** A key with its value and version. */
public record Entry(String key, JsonNode value, Revision revision) {}
