/** Encoding of claims in the platform's stores. */
package org.godwithoist.services.wire;
