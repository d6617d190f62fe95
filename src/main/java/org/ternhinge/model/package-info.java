/** Small value types, outcomes of calls and time. */
package org.ternhinge.model;
