/**
 * Immutable value types, outcomes of calls to other systems, clocks and executors.
 *
 * <p>The value types that are compared while processing heartbeats and planning implement {@code
 * equals} and {@code hashCode} explicitly. The generated methods of records use method handles,
 * which the C1 compiler does not inline: with them, comparing seven tasks took 13 us and comparing
 * two terms 0.6 us. {@code ValueTypesTest} checks that the explicit methods are equivalent to
 * generated ones.
 */
package org.ternhinge.model;
