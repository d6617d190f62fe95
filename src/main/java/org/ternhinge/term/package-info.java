/**
 * Shared infrastructure of the components of one leadership: the services of the process, the
 * executor that runs actions only until the leadership ends, the trigger of scheduling rounds, and
 * records that pack many small entries into few keys.
 *
 * <p>The only state it holds is whether the leadership has ended. All methods are called under the
 * controller's lock. The package depends on no other component of a leadership; all of them depend
 * on it.
 */
package org.ternhinge.term;
