/** Elects the leading controller through the key-value store and renews its lease. */
package org.ternhinge.election;
