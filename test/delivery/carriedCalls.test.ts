import { CarriedCalls } from '../../src/delivery/carriedCalls';

describe('the calls that a connection has carried', () => {
  // Guards against forgetting a call on a connection that is used for long, and against memory
  // without bound.
  it('excludes each of them until the connection is full', () => {
    const carried = new CarriedCalls();
    const ids: string[] = [];
    for (let count = 0; !carried.isFull(); count += 1) {
      ids.push(`call-${count}`);
      carried.add(`call-${count}`);
    }
    expect(ids.filter((id) => carried.mayCarry(id))).toEqual([]);
    expect([ids.length <= 1024, carried.mayCarry('another')]).toEqual([true, false]);
  });

  // Guards against a new connection for each call.
  it('allows other calls', () => {
    const carried = new CarriedCalls();
    for (let count = 0; count < 500; count += 1) carried.add(`call-${count}`);
    const others = Array.from({ length: 500 }, (_, index) => `other-${index}`);
    expect(others.filter((id) => !carried.mayCarry(id))).toEqual([]);
  });
});
