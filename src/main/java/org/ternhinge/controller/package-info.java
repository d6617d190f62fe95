/**
 * One controller process: routes each request to its handler, stands for election, and holds the
 * leadership while this node leads.
 *
 * <p>Owns the lock that guards all shared state of the process; it is taken here for each request.
 */
package org.ternhinge.controller;
