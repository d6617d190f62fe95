/** Elects the one leading controller by the state service, and keeps its lease alive. */
package org.ternhinge.election;
