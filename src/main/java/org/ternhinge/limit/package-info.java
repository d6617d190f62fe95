/** Token buckets for calls to systems that limit their callers. */
package org.ternhinge.limit;
