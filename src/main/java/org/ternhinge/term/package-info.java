/**
 * What the components of one leadership are built on: the services of the process, the executor
 * that runs actions only while the leadership lasts, the request for a scheduling round, and
 * records that pack many small entries into few keys.
 *
 * <p>Owns no state beyond whether the leadership has ended. Everything is called under the
 * controller's lock. Depends on no other component of a leadership; all of them depend on it.
 */
package org.ternhinge.term;
