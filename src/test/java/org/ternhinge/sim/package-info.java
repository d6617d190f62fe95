/**
 * Simulation of everything around the controllers in virtual time, and checks of the protocol
 * rules.
 */
package org.ternhinge.sim;
