/** Framed messages between the controllers. */
package org.ternhinge.peer;
