/** Elects the one leading controller by the key-value store, and keeps its lease alive. */
package org.ternhinge.election;
