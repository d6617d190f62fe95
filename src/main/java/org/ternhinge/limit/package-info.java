/** Token buckets for calls to systems that limit their rate. */
package org.ternhinge.limit;
