package org.ternhinge.http;

/** A whole response as a client gets it. */
public record Reply(int status, byte[] body) {}
