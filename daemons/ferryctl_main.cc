#include "lacewingferry/app/operator_main.h"

int main(int argc, char** argv) {
  return lacewingferry::OperatorMain(argc, argv);
}
