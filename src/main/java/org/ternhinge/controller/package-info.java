/**
 * One controller process: routes each request to its handler, takes part in elections, and runs the
 * leadership while this node is the leader.
 *
 * <p>All shared state of the process is guarded by one lock, which is acquired here for each
 * request. Called on the threads of the HTTP server.
 */
package org.ternhinge.controller;
