/**
 * The leader's model of the machines in its fleet: description, cloud status, worker agent state,
 * tasks, images and health of each machine.
 *
 * <p>The model exists for one leadership and is guarded by the controller's lock. Heartbeats, cloud
 * listings and plans update it through the methods of {@link org.ternhinge.machine.Machine} and its
 * components, which invalidate the planner's cached view of the machine. This package sends no
 * messages.
 */
package org.ternhinge.machine;
