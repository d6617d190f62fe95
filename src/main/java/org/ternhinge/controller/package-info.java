/**
 * One controller process: routes each request to its handler, stands for election, and holds the
 * leadership while this node leads.
 *
 * <p>All shared state of the process is guarded by one lock, which is acquired here for each
 * request. Called by the server threads of the command line's service.
 */
package org.ternhinge.controller;
