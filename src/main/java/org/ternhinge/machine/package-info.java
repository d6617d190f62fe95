/**
 * The leader's model of the machines of its fleet: the description of each one, its status at the
 * cloud, the state of its worker agent, its tasks and images, and its health.
 *
 * <p>The state lives as long as one leadership and is guarded by the controller's lock. Heartbeats,
 * listings of the cloud and plans change it through the methods of {@link
 * org.ternhinge.machine.Machine} and its components, which invalidate the planner's cached view of
 * the machine. Nothing here sends a message.
 */
package org.ternhinge.machine;
