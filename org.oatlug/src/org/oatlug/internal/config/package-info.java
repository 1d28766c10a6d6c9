/** The join of published objects and the compiled form of policies. */
package org.oatlug.internal.config;
