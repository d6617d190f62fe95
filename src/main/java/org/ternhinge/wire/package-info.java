/**
 * The JSON messages of the site's interfaces. No other package contains the field names of the
 * protocol, except for those of the key-value store in package {@code store}.
 */
package org.ternhinge.wire;
