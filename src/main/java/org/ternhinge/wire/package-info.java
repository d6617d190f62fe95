/** JSON of the site's interfaces; the only place that has its field names. */
package org.ternhinge.wire;
