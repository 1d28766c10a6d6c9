/** The tables that hold the state of one instance. */
package org.oatlug.internal.table;
