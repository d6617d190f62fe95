/**
 * Stand-ins for everything around the controllers, on virtual time, and the rules checked on them.
 */
package org.ternhinge.sim;
