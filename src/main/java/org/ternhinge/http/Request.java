package org.ternhinge.http;

/** A whole request as a server gets it; the path has no query. */
public record Request(String method, String path, byte[] body) {}
