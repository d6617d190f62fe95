/**
 * What the leader knows of the machines of its fleet: what each one is, what the cloud says of it,
 * the state of its worker agent, the tasks and images on it, and whether it is fit for tasks.
 *
 * <p>The state lives as long as one leadership and is guarded by the controller's lock. Heartbeats,
 * listings of the cloud and plans change it through the methods of {@link
 * org.ternhinge.machine.Machine} and its parts, which keep the view that the planner is shown true.
 * Nothing here sends a message.
 */
package org.ternhinge.machine;
